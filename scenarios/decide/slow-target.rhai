// One engine becomes eight times slower under steady calls. Callers who meet it would miss their
// deadlines; routers see its slow progress and go elsewhere.
let ours = outcome("slow-engine", "ours");
check(ours.silent == 0, "nobody is left without an answer");
check(ours.late * 100 <= ours.calls, "at most one in a hundred is cut at its deadline");
