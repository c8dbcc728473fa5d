// A router replaced during a log outage must get the state from a peer instead of rejecting every
// caller until the log is available.

deploy(#{});
let version_of = |router| {
    let state = status(router);
    if state == () { -1 } else { state.version }
};
let version = version_of.call("router-0");
fault("log", #{ down: true });
kill("router-1");
start("router-1");
wait_until("the new router has the settings", || version_of.call("router-1") == version);
check(logged("router-1", "state loaded from a peer"), "the settings came from the other router");
wait_until("a complete answer", || ask("router-1", "vidrio", "quotes-7b", #{ tokens: 5 }).whole);
