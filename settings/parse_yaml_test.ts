import test from "ava";
import fc from "fast-check";
import { parse } from "yaml";
import { parseYaml } from "./parse_yaml.ts";

test("JSON text is parsed to the same value as by the YAML parser", (t) => {
    fc.assert(
        fc.property(fc.dictionary(fc.string(), fc.jsonValue()), (value) => {
            const text = JSON.stringify(value);
            t.deepEqual(parseYaml(text), parse(text));
        }),
    );
});

test("a flow mapping that is not JSON is parsed as YAML", (t) => {
    t.deepEqual(parseYaml("{a: 1, b: [x, y]}"), { a: 1, b: ["x", "y"] });
    t.deepEqual(parseYaml("a: 1\n"), { a: 1 });
    t.throws(() => parseYaml("{a: [1"));
});
