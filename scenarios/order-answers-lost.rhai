// An engine executes commands but the responses are lost. Assuming failure would load the next model
// into used memory; assuming success would send requests for a model that may not be loaded.

deploy(#{ engines: 1, engine_options: ["--token-us", "1000", "--load-ms", "100"],
    documents: #{
    "teams/vidrio/models/quotes-7b": #{ replicas: 1 },
    "shared/models/quotes-7b": #{ memory_mib: 50000, versions: ["1"], load_ms: 500,
        adapter_memory_mib: 500 },
    "shared/models/design-13b": #{ memory_mib: 60000, versions: ["1"], load_ms: 500,
        adapter_memory_mib: 500 } } });
fault("engine-0", #{ lose_order_answers: 2 });
wait_until("the first model answers", || ask("router-0", "vidrio", "quotes-7b", #{ tokens: 2 }).whole);
fault("engine-0", #{ lose_order_answers: 2 });
wait_until("the second answers", || ask("router-1", "hinokuni", "design-13b", #{ tokens: 2 }).whole);
wait_until("the first again", || ask("router-0", "vidrio", "quotes-7b", #{ tokens: 2 }).whole);
check(counters("engine-0").over_memory == 0, "no command exceeded the engine's memory");
