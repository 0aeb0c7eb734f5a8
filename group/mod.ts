/**
 * What any member of a replicated group needs beside the log: its part in the group, the network to
 * the other members, the clock that a leader puts on inputs.
 *
 * @example
 * ```ts
 * import { GroupMember, PeerNetwork } from "./mod.ts";
 * ```
 *
 * @module
 */

export * from "./group_member.ts";
export * from "./leader_clock.ts";
export * from "./peer_network.ts";
