// Lint settings after the TypeScript team's coding guidelines; the function verbs come from docs/VERBS.md.
import { readFileSync } from "node:fs";
import js from "@eslint/js";
import tseslint from "typescript-eslint";

const verbs = readFileSync(new URL("./docs/VERBS.md", import.meta.url), "utf8")
    .split("\n")
    .map((line) => /^\| ([a-z]+) \|/.exec(line)?.[1])
    .filter((verb) => verb !== undefined && verb !== "verb");
const verbPattern = `^(${verbs.join("|")})([A-Z0-9].*)?$`;

export default tseslint.config(
    { ignores: ["node_modules/**", "bench/results/**", "target/**", "journal/**"] },
    js.configs.recommended,
    ...tseslint.configs.recommended,
    {
        files: ["**/*.ts"],
        rules: {
            curly: ["error", "all"],
            eqeqeq: ["error", "always"],
            "no-var": "error",
            "prefer-const": "error",
            "one-var": ["error", "never"],
            "no-restricted-syntax": [
                "error",
                { selector: "ExportDefaultDeclaration", message: "Use named exports." },
            ],
            "@typescript-eslint/explicit-module-boundary-types": "error",
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^_" }],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                {
                    selector: "interface",
                    format: ["PascalCase"],
                    custom: { regex: "^I[A-Z]", match: false },
                },
                { selector: "variable", format: ["camelCase", "UPPER_CASE", "PascalCase"] },
                {
                    selector: ["function", "classMethod"],
                    format: ["camelCase"],
                    custom: { regex: verbPattern, match: true },
                },
            ],
        },
    },
    {
        files: ["eslint.config.js"],
        languageOptions: { globals: { URL: "readonly" } },
    },
);
