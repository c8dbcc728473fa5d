// A router, possibly the holder of the control lease, is killed during a log outage. The other
// router must continue to serve.

deploy(#{});
let ask_with_retries = |router| {
    let answer = ask(router, "vidrio", "quotes-7b", #{ tokens: 5 });
    while answer.status == 503 { answer = ask(router, "vidrio", "quotes-7b", #{ tokens: 5 }); }
    answer
};
let before = ask_with_retries.call("router-1");
check(before.whole, "a complete answer before the faults");

fault("log", #{ down: true });
kill("router-0");
let after = ask_with_retries.call("router-1");
check(after.whole && after.text == before.text, "the same complete answer during the outage");

fault("log", #{});
start("router-0");
wait_until("the killed router is back", || ask("router-0", "vidrio", "quotes-7b", #{ tokens: 5 }).whole);
