/**
 * The configuration group: one order of rules changes for the whole cell. Every entry instance
 * keeps a replica; the leader of each zone's group carries the newest rules into its own log.
 *
 * @example
 * ```ts
 * import { ConfigGroup } from "./config_group.ts";
 * const config = new ConfigGroup({ ...memberOptions, rules });
 * const result = await config.setRules(change, problems);
 * ```
 *
 * @module
 */

import { RulesBook, type Rules, type RulesChange, type RulesChangeResult } from "../rules/mod.ts";
import { createRulesFile, type RulesFile } from "../rules/rules_file.ts";
import { GroupMember, type GroupMemberOptions } from "../group/mod.ts";

/** A change with what the zones' groups said against it. */
interface ConfigCommand {
    readonly change: RulesChange;
    readonly problems: readonly string[];
}

/** Options of {@link ConfigGroup}. */
export interface ConfigGroupOptions extends Omit<
    GroupMemberOptions<ConfigCommand, RulesChangeResult>,
    "machine"
> {
    /** The rules that the cell starts with; later ones come from the log. */
    readonly rules: Rules;
}

/** This instance's part in the configuration group. */
export class ConfigGroup {
    readonly #book: RulesBook;
    readonly member: GroupMember<ConfigCommand, RulesChangeResult>;

    /**
     * @param options Identity, network, first rules; see {@link ConfigGroupOptions}.
     */
    constructor(options: ConfigGroupOptions) {
        const book = new RulesBook(options.rules);
        this.#book = book;
        this.member = new GroupMember({
            ...options,
            machine: {
                apply: ({ change, problems }) => book.applyChange(change, () => problems),
                encode: () => JSON.stringify(book.encode()),
                restore: (state) => book.restore(JSON.parse(state)),
            },
        });
    }

    /** The newest rules this instance knows of. */
    get rules(): Rules {
        return this.#book.rules;
    }

    /** The same as a file's contents, for the zones' groups. */
    get rulesFile(): RulesFile {
        return createRulesFile(this.#book.rules);
    }

    /**
     * Proposes a change; this instance must lead.
     *
     * @param change The change.
     * @param problems What the zones' groups said against it.
     * @returns Applied, a conflict, or rejected.
     */
    setRules(change: RulesChange, problems: readonly string[]): Promise<RulesChangeResult> {
        return this.member.replica.propose({ change, problems });
    }
}
