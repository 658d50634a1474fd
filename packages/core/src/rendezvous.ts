/**
 * Rendezvous hashing: all instances compute the same order of nodes for a key, and adding or removing a node reassigns only the
 * keys of that node.
 *
 * @packageDocumentation
 */

import { createHash } from "node:crypto";

/**
 * Sorts nodes by their rendezvous weight for a key.
 *
 * @param key - The key.
 * @param nodes - The nodes, in any order.
 * @param idOf - Returns the id of a node.
 * @returns The nodes; the first one owns the key.
 */
export const rendezvousOrder = <Node>(key: string, nodes: readonly Node[], idOf: (node: Node) => string): readonly Node[] => {
    const weights = weightsFor(key);
    return nodes
        .map(node => ({ node, weight: weightOf(weights, key, idOf(node)) }))
        .sort((a, b) => a.weight - b.weight)
        .map(({ node }) => node);
};

/** Maximum number of cached weights; the cache avoids hashing every node again for each lookup. */
const maximumCachedWeights = 131_072;

/** Bytes of the hash that form a weight; a number represents integers of this size exactly. */
const weightBytes = 6;

const weightsByKey = new Map<string, Map<string, number>>();
let cachedWeights = 0;

const weightsFor = (key: string): Map<string, number> => {
    const cached = weightsByKey.get(key);
    if (cached !== undefined) {
        return cached;
    }
    const weights = new Map<string, number>();
    weightsByKey.set(key, weights);
    return weights;
};

const weightOf = (weights: Map<string, number>, key: string, id: string): number => {
    const cached = weights.get(id);
    if (cached !== undefined) {
        return cached;
    }
    if (cachedWeights >= maximumCachedWeights) {
        weightsByKey.forEach(weightsOfKey => weightsOfKey.clear());
        cachedWeights = 0;
    }
    cachedWeights += 1;
    const weight = createHash("sha1").update(`${id}\n${key}`).digest().readUIntBE(0, weightBytes);
    weights.set(id, weight);
    return weight;
};
