import test from "ava";
import { FindingsError } from "./findings.ts";
import { loadInventoryText } from "./inventory_file.ts";
import { loadRulesText } from "../rules/rules_file.ts";

function buildInvalidInventory(): string {
    return [
        "cell: demo",
        "zones: [hall-a]",
        "services:",
        "  - { id: studio-intake, zones: [hall-a, hall-z] }",
        "racks:",
        "  - id: r1",
        "    zone: hall-q",
        "    instances:",
        "      - { id: w1, cores: -4, memoryMb: 1024 }",
        "      - { id: w1, cores: 4, memoryMb: 1024 }",
        "executors:",
        "  - { service: studio-intake, instance: w9, slots: 8, connections: 60 }",
    ].join("\n");
}

test("an invalid inventory is rejected with the line of every finding", (t) => {
    // References are checked only after the schema has passed.
    const error = t.throws(() => loadInventoryText("inv.yaml", buildInvalidInventory()), {
        instanceOf: FindingsError,
    });
    t.deepEqual(
        error?.findings.map((f) => f.line),
        [9],
    );
    const fixed = buildInvalidInventory().replace("cores: -4", "cores: 4");
    const second = t.throws(() => loadInventoryText("inv.yaml", fixed), {
        instanceOf: FindingsError,
    });
    t.deepEqual(
        second?.findings.map((f) => f.line).sort((a, b) => a - b),
        [4, 7, 10, 12],
    );
    t.regex(
        second?.message ?? "",
        /inv\.yaml:7:\d+: racks\[0\]\.zone: unknown availability zone "hall-q"/,
    );
});

test("an unknown class or a syntax error in a rules file is reported as a finding", (t) => {
    const bad =
        "version: 1\nclasses:\n  - { name: live, precedence: 100 }\nkinds:\n  - { name: reel, class: nope, placement: packing, idempotent: false }\n";
    const error = t.throws(() => loadRulesText("rules.yaml", bad), { instanceOf: FindingsError });
    t.is(error?.findings[0]?.line, 5);
    const syntax = t.throws(() => loadRulesText("rules.yaml", "version: [1\n"), {
        instanceOf: FindingsError,
    });
    t.true((syntax?.findings.length ?? 0) >= 1);
});
