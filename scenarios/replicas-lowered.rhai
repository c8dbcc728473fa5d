// An operator lowers the replicas of a model while both are loaded. As long as an engine keeps
// what is no longer decided, the team pays for a replica that it did not ask for.

deploy(#{ engine_options: ["--token-us", "1000", "--load-ms", "100"] });
let engines = ["engine-0", "engine-1", "engine-2"];
let holders = || {
    let count = 0;
    for engine in engines {
        if loaded(engine).index_of("quotes-7b") != -1 { count += 1; }
    }
    count
};
// Routers meet at one replica as long as its queue is short; a burst that overfills it wakes the
// other one.
let asked = [];
wait_until("both replicas are loaded", || {
    for n in 0..100 {
        asked.push(begin("router-0", "vidrio", "quotes-7b", #{ tokens: 500 }));
        asked.push(begin("router-1", "vidrio", "quotes-7b", #{ tokens: 500 }));
    }
    pause(100);
    holders.call() == 2
});
for number in asked { finish(number); }
set_document("teams/vidrio/models/quotes-7b", #{ replicas: 1 });
let applied = operate("router-1", ["apply", settings_dir()]);
check(applied.code == 0, applied.output);
// The model stays in use, or the last replica would be dropped for idleness.
wait_until("a slot is released", || {
    ask("router-0", "vidrio", "quotes-7b", #{ tokens: 1 });
    status("router-0").slots.len() == 3
});
check(ask("router-0", "vidrio", "quotes-7b", #{ tokens: 1 }).whole, "the other goes on");
let left = holders.call();
check(left == 1, "its replica was unloaded before, left: " + left);
