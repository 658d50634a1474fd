/**
 * Runs the store in a thread of its own, so that clients and servers do not wait for its large answers.
 */

import { isMainThread, parentPort, Worker, workerData } from "node:worker_threads";
import { Store } from "./store.mjs";

/** The store as the other stand-ins use it. */
export class RemoteStore {
    #pending = new Map();
    #last = 0;

    /**
     * Starts the store.
     *
     * @param host - Its address.
     * @param otherHost - Address at which it lists the same items with other addresses of servers; none by default.
     */
    async listen(host, otherHost) {
        this.worker = new Worker(new URL(import.meta.url), { workerData: { host, otherHost } });
        [this.address, this.otherAddress] = await new Promise((resolve, reject) => {
            this.worker.once("message", resolve);
            this.worker.once("error", reject);
        });
        this.worker.on("message", id => {
            this.#pending.get(id)?.();
            this.#pending.delete(id);
        });
    }

    /** Writes an item; resolves when the store has acknowledged it. */
    put(key, text) {
        return this.#send({ key, text });
    }

    /** Lists a server at another address to those that ask at the other address of the store. */
    mapAddress(address, other) {
        return this.#send({ address, other });
    }

    /** Removes an item; resolves when the store has acknowledged it. */
    remove(key) {
        return this.#send({ key });
    }

    /** Sets the age of the second and further pages of reads that may be stale. */
    setStalePages(milliseconds) {
        return this.#send({ stalePagesMs: milliseconds });
    }

    close() {
        return this.worker?.terminate();
    }

    #send(message) {
        this.#last += 1;
        const id = this.#last;
        this.worker.postMessage({ id, ...message });
        return new Promise(resolve => this.#pending.set(id, resolve));
    }
}

if (!isMainThread) {
    const store = new Store();
    await store.listen(workerData.host, workerData.otherHost);
    parentPort.on("message", ({ id, key, text, stalePagesMs, address, other }) => {
        if (address !== undefined) {
            store.otherAddresses.set(address, other);
        }
        else if (stalePagesMs !== undefined) {
            store.stalePagesMs = stalePagesMs;
        }
        else if (text === undefined) {
            store.remove(key);
        }
        else {
            store.put(key, text);
        }
        parentPort.postMessage(id);
    });
    parentPort.postMessage([store.address, store.otherAddress]);
}
