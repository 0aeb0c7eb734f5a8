import test from "ava";
import { Registry } from "prom-client";
import type { QueueName } from "../configuration/mod.ts";
import { DurationMetrics } from "./duration_metrics.ts";

test("shows the current speeds and ratios, and nothing on an instance that does not lead", async (t) => {
    // Guards against speeds that add up over the updates, and values that outlive a lead.
    const registry = new Registry();
    const metrics = new DurationMetrics(registry);
    const model = {
        listWorkerSpeeds: () => [0.75, 0.75, 1.9],
        listQueueRatios: () =>
            new Map([
                ["ad-check" as QueueName, { median: 1.43, total: 1.5, p80: 1.7, samples: 9 }],
            ]),
    };
    metrics.update(model);
    metrics.update(model);
    const text = await registry.metrics();
    t.true(text.includes('poplarhead_worker_speed_bucket{le="0.8"} 2'));
    t.true(text.includes("poplarhead_worker_speed_count 3"));
    t.true(text.includes('poplarhead_queue_duration_ratio{queue="ad-check"} 1.43'));
    metrics.update(undefined);
    t.false((await registry.metrics()).includes("ad-check"));
});
