// An operator lowers the replicas of a model while both are loaded. The surplus replica must be
// unloaded.

deploy(#{ engine_options: ["--token-us", "1000", "--load-ms", "100"] });
let engines = ["engine-0", "engine-1", "engine-2"];
let holders = || {
    let count = 0;
    for engine in engines {
        if loaded(engine).index_of("quotes-7b") != -1 { count += 1; }
    }
    count
};
// Routers use one replica while its queue is short; a burst makes them load the second one.
let pending = [];
wait_until("both replicas are loaded", || {
    for n in 0..100 {
        pending.push(begin("router-0", "vidrio", "quotes-7b", #{ tokens: 500 }));
        pending.push(begin("router-1", "vidrio", "quotes-7b", #{ tokens: 500 }));
    }
    pause(100);
    holders.call() == 2
});
for number in pending { finish(number); }
set_document("teams/vidrio/models/quotes-7b", #{ replicas: 1 });
let applied = operate("router-1", ["apply", settings_dir()]);
check(applied.code == 0, applied.output);
// Requests keep the last replica from being unloaded as idle.
wait_until("a slot is released", || {
    ask("router-0", "vidrio", "quotes-7b", #{ tokens: 1 });
    status("router-0").slots.len() == 3
});
check(ask("router-0", "vidrio", "quotes-7b", #{ tokens: 1 }).whole, "the other replica serves");
let left = holders.call();
check(left == 1, "its replica was unloaded before, left: " + left);
