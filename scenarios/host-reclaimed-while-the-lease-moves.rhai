// A host and the holder of the control lease are lost together. The host's slots must be reassigned
// once another router holds the lease and the lag of the host list has passed.

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
wait_until("its slots are reassigned", || {
    let state = status(other);
    let left = 0;
    for slot in state.slots {
        if slot.target == owner { left += 1; }
    }
    state.slots.len() >= 4 && left == 0
});
wait_until("a complete answer", || ask(other, "hinokuni", "design-13b", #{ tokens: 5 }).whole);
