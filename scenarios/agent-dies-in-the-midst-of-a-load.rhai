// An agent that restarts during a load, with the log down, must account for the memory of the load
// in progress: another load command would exceed the engine's memory.

deploy(#{ engines: 1, engine_options: ["--token-us", "1000", "--load-ms", "3000"],
    documents: #{ "teams/vidrio/models/quotes-7b": #{ replicas: 1 } } });
let pending = begin("router-0", "hinokuni", "design-13b", #{ tokens: 2, deadline_ms: 20000 });
wait_until("the engine loads", || counters("engine-0").loads == 1);
kill("agent-engine-0");
fault("log", #{ down: true });
start("agent-engine-0");
pause(500);
fault("log", #{});
wait_until("the model answers", || ask("router-0", "hinokuni", "design-13b", #{ tokens: 2 }).whole);
finish(pending);
let seen = counters("engine-0");
check(seen.loads == 1, "one load command was sent");
check(seen.over_memory == 0, "no command exceeded the engine's memory");
