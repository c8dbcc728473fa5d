// The log is down for longer than its retention and empty afterwards. The surviving processes must
// write a new checkpoint, or all settings would be lost with them.

deploy(#{ log_options: ["--retention-ms", "4000"],
    documents: #{ "system/deployment": #{ lease_ttl_ms: 1500, checkpoint_interval_ms: 1000 } } });
let version_of = |router| {
    let state = status(router);
    if state == () { -1 } else { state.version }
};
let version = version_of.call("router-0");
fault("log", #{ down: true });
pause(6000);
check(ask("router-0", "hinokuni", "design-13b", #{ tokens: 5 }).status != 401, "callers are known");
let before = status("router-0").next;
fault("log", #{});
wait_until("the survivors wrote a new checkpoint", || {
    let state = status("router-0");
    state.checkpoint != () && state.checkpoint.as_of >= before
});

kill("router-0");
kill("router-1");
start("router-0");
start("router-1");
wait_until("the settings are still there", || version_of.call("router-1") == version);
wait_until("a complete answer", || ask("router-1", "vidrio", "quotes-7b", #{ tokens: 5 }).whole);
