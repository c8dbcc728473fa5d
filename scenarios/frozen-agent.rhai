// An agent is frozen for longer than the control lease while an operator removes a replica. It must
// not load the model from its stale state when it resumes.

deploy(#{ engine_options: ["--token-us", "1000", "--load-ms", "100"] });
let owner = "";
wait_until("the model has an owner", || {
    for slot in status("router-0").slots {
        if slot.model == "quotes-7b" && slot.slot == 1 { owner = slot.target; }
    }
    owner != ""
});
freeze("agent-" + owner);
set_document("teams/vidrio/models/quotes-7b", #{ replicas: 1 });
let applied = operate("router-0", ["apply", settings_dir()]);
check(applied.code == 0, applied.output);
pause(3000);
thaw("agent-" + owner);
wait_until("the slot is released", || {
    let left = 0;
    for slot in status("router-0").slots {
        if slot.model == "quotes-7b" && slot.slot == 1 { left += 1; }
    }
    left == 0
});
check(logged("agent-" + owner, "this process stood still"), "the agent detected its pause");
check(loaded(owner).index_of("quotes-7b") == -1, "the model is not loaded there");
