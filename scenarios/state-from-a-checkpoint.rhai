// Both routers are replaced at once after the first log records have expired. They must restore the
// settings from a checkpoint; folding the remaining records would lose every team.

deploy(#{ log_options: ["--retention-ms", "4000"],
    documents: #{ "system/deployment": #{ lease_ttl_ms: 1500, checkpoint_interval_ms: 1000 } } });
let version_of = |router| {
    let state = status(router);
    if state == () { -1 } else { state.version }
};
let version = version_of.call("router-0");
pause(6000);

kill("router-0");
kill("router-1");
start("router-0");
start("router-1");
wait_until("the settings are back", || version_of.call("router-0") == version);
check(status("router-0").slots.len() >= 4, "the slots are back too");
wait_until("a complete answer", || ask("router-1", "vidrio", "quotes-7b", #{ tokens: 5 }).whole);
