#!/usr/bin/env node
/**
 * A process on the users' platform: `poplarhead_platform front|control`.
 *
 * @module
 */
import { runPlatformProcess } from "../platform/main.ts";

await runPlatformProcess(process.argv[2] ?? "", process.env["POPLARHEAD_SETTINGS"] ?? "");
process.exit(0);
