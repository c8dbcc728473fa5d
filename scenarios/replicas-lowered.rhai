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
wait_until("both replicas are loaded", || {
    ask("router-0", "vidrio", "quotes-7b", #{ tokens: 1 });
    ask("router-1", "vidrio", "quotes-7b", #{ tokens: 1 });
    holders.call() == 2
});
set_document("teams/vidrio/models/quotes-7b", #{ replicas: 1 });
let applied = operate("router-1", ["apply", settings_dir()]);
check(applied.code == 0, applied.output);
wait_until("a slot is released", || status("router-0").slots.len() == 3);
check(holders.call() == 1, "its replica was unloaded before");
check(ask("router-0", "vidrio", "quotes-7b", #{ tokens: 1 }).whole, "the other goes on");
