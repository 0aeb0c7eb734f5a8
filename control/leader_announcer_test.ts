import test from "ava";
import { LeaderAnnouncer, parseLeaderAnnouncement } from "./leader_announcer.ts";

const SELF = "10.0.0.1:7720";
const SEEDS = [SELF, "10.0.0.2:7720", "10.0.0.3:7720"];

test("a leader announces itself once a second to the seeds that don't follow it", (t) => {
    // Guards against a message to every seed in each round, and against none.
    const sent: string[] = [];
    const announcer = new LeaderAnnouncer({ self: SELF, send: (instance) => sent.push(instance) });
    const round = { term: 3, seeds: SEEDS, followers: ["10.0.0.3:7720"] };
    for (let nowMs = 0; nowMs <= 1_000; nowMs += 100) {
        announcer.announce({ ...round, nowMs });
    }
    t.deepEqual(sent, ["10.0.0.2:7720", "10.0.0.2:7720"]);
});

test("a malformed announcement is ignored", (t) => {
    // Guards against an address or a term of another type that replaces a valid hint.
    const valid = { leader: "10.0.0.2:7720", term: 2 };
    t.deepEqual(parseLeaderAnnouncement(valid), valid);
    const malformed = [
        undefined,
        null,
        "leader",
        {},
        { ...valid, leader: 7 },
        { ...valid, leader: "no address" },
        { ...valid, leader: "10.0.0.2:0" },
        { ...valid, term: "2" },
        { ...valid, term: -1 },
        { ...valid, term: 1.5 },
        { ...valid, term: Number.NaN },
    ];
    for (const params of malformed) {
        t.is(parseLeaderAnnouncement(params), undefined, JSON.stringify(params));
    }
});
