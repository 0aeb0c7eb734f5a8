import test from "ava";
import { buildConfiguration } from "../control/_fixtures.ts";
import { buildQueue, QUEUE } from "../dispatch/_fixtures.ts";
import { checkConfiguration, findQueue } from "./configuration.ts";
import type { Configuration, PoolName, QueueConfig, QueueName } from "./types.ts";

function buildConfigurationWith(...queues: readonly QueueConfig[]): Configuration {
    return { ...buildConfiguration(1), queues };
}

test("a call matches the queue of its host with the longest path prefix", (t) => {
    const narrow = buildQueue({ name: "narrow" as QueueName, pathPrefix: "/previews/x/" });
    const configuration = buildConfigurationWith(buildQueue(), narrow);
    const match = findQueue(configuration, "studio.example", "/previews/x/1");
    t.is(match?.queue.name, narrow.name);
    t.is(match?.pathSuffix, "1");
    t.is(findQueue(configuration, "studio.example", "/previews/1")?.queue.name, QUEUE);
    t.is(findQueue(configuration, "other.example", "/previews/1"), undefined);
});

test("every problem of an invalid configuration is reported", (t) => {
    t.deepEqual(checkConfiguration(buildConfigurationWith(buildQueue())), []);
    const bad = buildQueue({
        name: "bad" as QueueName,
        pool: "nobody" as PoolName,
        timeoutMs: 0,
    });
    const findings = checkConfiguration(buildConfigurationWith(buildQueue(), bad));
    t.is(findings.length, 3);
});
