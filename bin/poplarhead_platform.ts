#!/usr/bin/env node
/**
 * Runs a platform daemon from source: `poplarhead_platform front|control`. In a deployment,
 * `poplarhead_start` runs the same daemon from its bundle.
 *
 * @module
 */
import { runPlatformProcess } from "../platform/main.ts";

await runPlatformProcess(process.argv[2] ?? "", process.env["POPLARHEAD_SETTINGS"] ?? "");
process.exit(0);
