// Long chats and short summaries must not delay each other, and cold starts must stay within 1.5
// times the store's bound.
let ours = outcome("evening-meeting", "ours");
check(ours.served == ours.calls, "all requests are served");
check(ours.cold_p99_ms * 2 <= ours.bound_ms * 3, "cold starts stay close to the bound");
