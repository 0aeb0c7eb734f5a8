/**
 * Membership, transport and leader clock of replicated groups, on top of the consensus log.
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
