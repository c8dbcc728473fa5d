// One engine becomes eight times slower. Routers must detect it and prefer other engines, so that
// calls meet their deadlines.
let ours = outcome("slow-engine", "ours");
check(ours.silent == 0, "every call gets a response");
check(ours.late * 100 <= ours.calls, "at most 1% of the calls miss their deadlines");
