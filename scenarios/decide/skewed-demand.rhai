// One team floods a model with urgent calls at ten times its capacity while another team has steady
// demand. The flood must not make calls miss their deadlines.
let ours = outcome("flood", "ours");
let fcfs = outcome("flood", "fcfs");
check(ours.silent == 0, "nobody is left without an answer");
check(ours.late * 100 <= ours.calls, "hardly anybody is cut at the deadline");
check(ours.served > fcfs.served, "more are served than first come first served");
