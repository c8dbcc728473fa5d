// A crew's first requests for many cold models come through all routers at once. If each router
// woke a replica for itself, crews at the end of the line would wait twice as long.
let ours = outcome("crew-morning", "ours");
let random = outcome("crew-morning", "random");
check(ours.served == ours.calls, "everybody is served");
check(ours.loads < random.loads, "fewer loads than with targets taken at random");
check(ours.cold_p99_ms < random.cold_p99_ms, "the last crew waits less");
