// An agent dies while its engine loads a model, and the log is down when it starts again. It must
// count what the engine is still loading: a second order for it, or one for another model in the
// same memory, would go beyond what the engine has.

deploy(#{ engines: 1, engine_options: ["--token-us", "1000", "--load-ms", "3000"],
    documents: #{ "teams/vidrio/models/quotes-7b": #{ replicas: 1 } } });
let asked = begin("router-0", "hinokuni", "design-13b", #{ tokens: 2, deadline_ms: 20000 });
wait_until("the engine loads", || counters("engine-0").loads == 1);
kill("agent-engine-0");
fault("log", #{ down: true });
start("agent-engine-0");
pause(500);
fault("log", #{});
wait_until("the model answers", || ask("router-0", "hinokuni", "design-13b", #{ tokens: 2 }).whole);
finish(asked);
let seen = counters("engine-0");
check(seen.loads == 1, "it was ordered once");
check(seen.over_memory == 0, "no order went beyond the engine's memory");
