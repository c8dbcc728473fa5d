// A burst of first requests for many cold models arrives at all routers. Routers must not load
// separate replicas of the same model.
let ours = outcome("crew-morning", "ours");
let random = outcome("crew-morning", "random");
check(ours.served == ours.calls, "all requests are served");
check(ours.loads < random.loads, "fewer loads than with random targets");
check(ours.cold_p99_ms < random.cold_p99_ms, "the tail wait is shorter");
