#!/usr/bin/env -S node --import tsx
/**
 * Runs an entry instance: `poplarhead_entry --inventory ... --rules ...`.
 *
 * @module
 */
import { runCli } from "../cli/mod.ts";

process.exitCode = await runCli(["entry", ...process.argv.slice(2)]);
