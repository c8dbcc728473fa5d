// One team floods one model with urgent calls, ten times what it serves, while another team has
// its steady work there. The flood must not turn the target's time into late answers.
let ours = outcome("flood", "ours");
let fcfs = outcome("flood", "fcfs");
check(ours.silent == 0, "nobody is left without an answer");
check(ours.late * 100 <= ours.calls, "hardly anybody is cut at the deadline");
check(ours.served > fcfs.served, "more are served than first come first served");
