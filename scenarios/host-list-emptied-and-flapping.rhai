// The host list is empty, then incomplete, then unavailable, then correct again. Acting on these
// states would release every slot and reject every caller.

deploy(#{ documents: #{ "system/deployment": #{ lease_ttl_ms: 1500, host_list_lag_ms: 500 } } });
wait_until("warm", || ask("router-0", "vidrio", "quotes-7b", #{ tokens: 1 }).whole);
let owners = |router| {
    let owners = [];
    for slot in status(router).slots { owners.push(slot.model + slot.slot + slot.target); }
    owners
};
let assigned = owners.call("router-0");
fault("hosts", #{ empty: true });
pause(2000);
check(ask("router-0", "vidrio", "quotes-7b", #{ tokens: 5 }).whole, "served with an empty list");
fault("hosts", #{});
unlist(["engine-0", "engine-1", "engine-2", "service-0", "router-1"]);
pause(1500);
check(ask("router-1", "vidrio", "quotes-7b", #{ tokens: 5 }).whole, "served with an incomplete list");
fault("hosts", #{ down: true });
pause(1000);
fault("hosts", #{});
leaving([]);
pause(700);
check(owners.call("router-1") == assigned, "no slot has moved");
