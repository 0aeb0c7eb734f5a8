/**
 * Defines the `poplarhead` command-line interface.
 *
 * @example
 * ```ts
 * import { runCli } from "./mod.ts";
 * await runCli(process.argv.slice(2));
 * ```
 *
 * @module
 */

import { Builtins, Cli } from "clipanion";
import { DemoCommand } from "./demo_command.ts";
import { LoadCommand } from "./load_command.ts";
import {
    CancelCommand,
    CheckCommand,
    DrainCommand,
    FateCommand,
    LogsCallsCommand,
    LogsCausesCommand,
    LogsStagesCommand,
    LogsExplainCommand,
    LogsMergeCommand,
    RulesSetCommand,
    StatusCommand,
    SubmitCommand,
} from "./operator_commands.ts";
import { EntryCommand, WorkersCommand } from "./process_commands.ts";

/**
 * Runs the command that the arguments select.
 *
 * @param args The arguments after the program's name.
 * @returns The exit code.
 */
export async function runCli(args: readonly string[]): Promise<number> {
    const cli = new Cli({
        binaryLabel: "poplarhead",
        binaryName: "poplarhead",
        binaryVersion: "0.1.0",
    });
    for (const command of [
        DemoCommand,
        LoadCommand,
        EntryCommand,
        WorkersCommand,
        CheckCommand,
        SubmitCommand,
        FateCommand,
        CancelCommand,
        DrainCommand,
        RulesSetCommand,
        StatusCommand,
        LogsCallsCommand,
        LogsCausesCommand,
        LogsStagesCommand,
        LogsExplainCommand,
        LogsMergeCommand,
        Builtins.HelpCommand,
    ]) {
        cli.register(command);
    }
    return cli.run([...args]);
}
