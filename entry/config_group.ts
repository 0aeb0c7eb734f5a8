/**
 * The configuration group: a replicated log that orders rules changes for the whole cell. Every
 * entry instance has a replica; zone leaders copy the newest rules into their group's log.
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

import { RulesStore, type Rules, type RulesChange, type RulesChangeResult } from "../rules/mod.ts";
import { createRulesFile, type RulesFile } from "../rules/rules_file.ts";
import { GroupMember, type GroupMemberOptions } from "../group/mod.ts";

/** A rules change with the problems that the zones' groups reported. */
interface ConfigCommand {
    readonly change: RulesChange;
    readonly problems: readonly string[];
}

/** Options of {@link ConfigGroup}. */
export interface ConfigGroupOptions extends Omit<
    GroupMemberOptions<ConfigCommand, RulesChangeResult>,
    "machine"
> {
    /** Initial rules; later versions come from the log. */
    readonly rules: Rules;
}

/** This instance's replica of the configuration group. */
export class ConfigGroup {
    readonly #rulesStore: RulesStore;
    readonly member: GroupMember<ConfigCommand, RulesChangeResult>;

    /**
     * @param options Identity, network, initial rules; see {@link ConfigGroupOptions}.
     */
    constructor(options: ConfigGroupOptions) {
        const rulesStore = new RulesStore(options.rules);
        this.#rulesStore = rulesStore;
        this.member = new GroupMember({
            ...options,
            machine: {
                apply: ({ change, problems }) => rulesStore.applyChange(change, () => problems),
                encode: () => JSON.stringify(rulesStore.encode()),
                restore: (state) => rulesStore.restore(JSON.parse(state)),
            },
        });
    }

    /** The newest rules applied on this replica. */
    get rules(): Rules {
        return this.#rulesStore.rules;
    }

    /** The newest rules in the format of a rules file. */
    get rulesFile(): RulesFile {
        return createRulesFile(this.#rulesStore.rules);
    }

    /**
     * Proposes a rules change.
     *
     * @param change The change.
     * @param problems Problems that the zones' groups reported; any of them rejects the change.
     * @returns Whether the change was applied, rejected, or conflicts with a newer version.
     * @throws {NotLeaderError} If this instance does not lead the group.
     * @throws {OutcomeUnknownError} If leadership ended and the change may still be applied.
     */
    setRules(change: RulesChange, problems: readonly string[]): Promise<RulesChangeResult> {
        return this.member.replica.propose({ change, problems });
    }
}
