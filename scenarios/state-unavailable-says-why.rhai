// All routers are replaced during a log outage, so none has the state. They must respond "not ready"
// rather than reject valid keys.

deploy(#{});
fault("log", #{ down: true });
kill("router-0");
kill("router-1");
start("router-0");
let answer = #{ status: 0 };
wait_until("the router answers", || {
    answer = ask("router-0", "vidrio", "quotes-7b", #{ tokens: 5 });
    answer.status != 0
});
check(answer.status == 503 && answer.code == "not_ready", "not ready rather than a wrong key");
fault("log", #{});
wait_until("a complete answer", || ask("router-0", "vidrio", "quotes-7b", #{ tokens: 5 }).whole);
