// Demand is ten times the capacity. Excess calls must be rejected early, or nearly all calls would
// miss their deadlines.
let ours = outcome("overload", "ours");
let fcfs = outcome("overload", "fcfs");
check(ours.silent == 0, "every call gets a response");
check(ours.late * 100 <= ours.calls, "at most 1% of the calls miss their deadlines");
check(ours.served > fcfs.served * 2, "more than twice as many are served");
