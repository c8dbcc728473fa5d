// An engine's host is listed as leaving during a long stream. It must get no new requests, and the
// stream must complete before the model is unloaded.

deploy(#{ engine_options: ["--token-us", "20000", "--load-ms", "100"] });
let owner = "";
wait_until("the model has an owner", || {
    for slot in status("router-0").slots {
        if slot.model == "design-13b" { owner = slot.target; }
    }
    owner != ""
});
wait_until("warm", || ask("router-0", "hinokuni", "design-13b", #{ tokens: 1 }).whole);
let stream = begin("router-0", "hinokuni", "design-13b", #{ tokens: 150, stream: true });
wait_until("it runs", || counters(owner).requests >= 2);

leaving([owner]);
wait_until("it gets no new requests", || {
    let before = counters(owner).requests;
    ask("router-1", "hinokuni", "design-13b", #{ tokens: 1 });
    counters(owner).requests == before
});
let answer = finish(stream);
check(answer.whole, "the stream in flight is complete");
wait_until("its slots are reassigned", || {
    let left = 0;
    for slot in status("router-0").slots {
        if slot.target == owner { left += 1; }
    }
    left == 0
});
check(loaded(owner).len() == 0, "nothing is loaded there any more");
wait_until("another engine serves the model",
    || ask("router-0", "hinokuni", "design-13b", #{ tokens: 1 }).whole);
