#!/usr/bin/env -S node --import tsx
/**
 * Runs the `poplarhead` command-line interface.
 *
 * @module
 */
import { runCli } from "../cli/mod.ts";

process.exitCode = await runCli(process.argv.slice(2));
