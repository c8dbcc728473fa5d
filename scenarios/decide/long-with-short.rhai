// Long design chats and short summaries meet in an evening. Neither may hold up the other, and
// each model is ready within the time that the store needs, half as long again.
let ours = outcome("evening-meeting", "ours");
check(ours.served == ours.calls, "chats and summaries are all served");
check(ours.cold_p99_ms * 2 <= ours.bound_ms * 3, "nobody waits much longer than the store forces");
