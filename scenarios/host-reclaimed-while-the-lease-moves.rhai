// A host is reclaimed without warning, and the router that holds the control lease dies with it.
// Until somebody else takes the lease and the list has lost the host for as long as it may lag,
// its slots stay with it; after that they must move, or the model is never served again.

deploy(#{ documents: #{ "system/deployment": #{ lease_ttl_ms: 1500, host_list_lag_ms: 1000 } } });
let owner = "";
wait_until("the model has an owner", || {
    for slot in status("router-0").slots {
        if slot.model == "design-13b" { owner = slot.target; }
    }
    owner != ""
});
let holder = status("router-0").lease.holder[0];
let other = if holder == "router-0" { "router-1" } else { "router-0" };
kill(holder);
kill("agent-" + owner);
kill(owner);
unlist([owner, holder]);
wait_until("its slots have moved", || {
    let state = status(other);
    let left = 0;
    for slot in state.slots {
        if slot.target == owner { left += 1; }
    }
    state.slots.len() >= 4 && left == 0
});
wait_until("a whole answer", || ask(other, "hinokuni", "design-13b", #{ tokens: 5 }).whole);
