// One team floods a model with urgent calls at ten times its capacity while another team has steady
// demand. The flood must not make calls miss their deadlines.
let ours = outcome("flood", "ours");
let fcfs = outcome("flood", "fcfs");
check(ours.silent == 0, "every call gets a response");
check(ours.late * 100 <= ours.calls, "at most 1% of the calls miss their deadlines");
check(ours.served > fcfs.served, "more are served than with first come, first served");
