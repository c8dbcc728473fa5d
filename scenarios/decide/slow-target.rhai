// One engine becomes eight times slower. Routers must detect it and prefer other engines, so that
// calls meet their deadlines.
let ours = outcome("slow-engine", "ours");
check(ours.silent == 0, "nobody is left without an answer");
check(ours.late * 100 <= ours.calls, "at most one in a hundred is cut at its deadline");
