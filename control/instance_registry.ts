/**
 * Registers the live fronts and control instances from the hello messages that a leader receives.
 *
 * @example
 * ```ts
 * import { InstanceRegistry } from "./instance_registry.ts";
 * const registry = new InstanceRegistry();
 * registry.add(hello, nowMs);
 * const fronts = registry.listAddresses("front");
 * ```
 *
 * @module
 */

import type { EntryId } from "../membership/mod.ts";
import type { HelloCall, PeerFront } from "./calls.ts";

/**
 * A control instance without a hello message for this long counts as lost, in ms; three hello
 * intervals. A false alarm costs two changes of the voters, since a voter is replaced only by a
 * live instance that holds the log.
 */
const CONTROL_TIMEOUT_MS = 1_500;
/** A front without a hello message for this long gets no advice calls, in ms. */
const FRONT_TIMEOUT_MS = 1_500;

interface RegisteredInstance extends HelloCall {
    readonly lastHelloAtMs: number;
}

/** The instances that have sent a hello message recently. */
export class InstanceRegistry {
    readonly #instances = new Map<string, RegisteredInstance>();
    #nextFrontIndex = 0;

    /**
     * Records a hello message.
     *
     * @param call The hello message.
     * @param nowMs The monotonic time, in ms.
     * @returns Whether the instance was not registered before.
     */
    add(call: HelloCall, nowMs: number): boolean {
        const isNew = !this.#instances.has(call.address);
        this.#instances.set(call.address, { ...call, lastHelloAtMs: nowMs });
        return isNew;
    }

    /**
     * Removes instances whose last hello message is too old.
     *
     * @param nowMs The monotonic time, in ms.
     */
    removeExpired(nowMs: number): void {
        for (const [address, instance] of this.#instances) {
            const timeoutMs = instance.kind === "front" ? FRONT_TIMEOUT_MS : CONTROL_TIMEOUT_MS;
            if (nowMs - instance.lastHelloAtMs > timeoutMs) {
                this.#instances.delete(address);
            }
        }
    }

    /**
     * Lists the addresses of the instances of one kind.
     *
     * @param kind Fronts or control instances.
     * @returns Their RPC addresses.
     */
    listAddresses(kind: HelloCall["kind"]): string[] {
        return [...this.#instances.values()]
            .filter((known) => known.kind === kind)
            .map((known) => known.address);
    }

    /**
     * Lists some fronts of each availability zone that can relay calls to the leader. Successive
     * calls rotate through the fronts to spread the load.
     *
     * @param maxPerZone The maximum number of fronts of each availability zone.
     * @param requesterAddress The address of the requesting front, which is left out.
     * @returns The fronts.
     */
    listPeerFronts(maxPerZone: number, requesterAddress: string): PeerFront[] {
        const countsByZone = new Map<string, number>();
        const peers: PeerFront[] = [];
        const fronts = [...this.#instances.values()].filter(({ kind }) => kind === "front");
        const firstIndex = this.#nextFrontIndex++ % Math.max(1, fronts.length);
        for (const { address, zone } of [
            ...fronts.slice(firstIndex),
            ...fronts.slice(0, firstIndex),
        ]) {
            const count = countsByZone.get(zone) ?? 0;
            if (address !== requesterAddress && count < maxPerZone) {
                countsByZone.set(zone, count + 1);
                peers.push({ address, zone });
            }
        }
        return peers;
    }

    /**
     * Returns the availability zone of each control instance.
     *
     * @returns The availability zones by instance.
     */
    getControlZones(): Map<EntryId, string> {
        const zones = new Map<EntryId, string>();
        for (const instance of this.#instances.values()) {
            if (instance.kind === "control") {
                zones.set(instance.address as EntryId, instance.zone);
            }
        }
        return zones;
    }
}
