/**
 * This instance's part in following the platform.
 *
 * @packageDocumentation
 */

import type { Settings } from "@harrierhitch/configuration";
import type { Clock, RandomSource } from "@harrierhitch/core";
import type { EventLog } from "./event-log.js";
import { events } from "./event.js";
import type { Instance } from "./instance.js";
import { PlatformReader } from "./platform-reader.js";
import type { Platform, PlatformValue } from "./platform.js";

/** Options of {@link PlatformFollower}. */
export interface PlatformFollowerOptions {
    readonly settings: Settings["platform"];
    readonly platform: Platform;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly instance: Instance;
    readonly log: EventLog;
}

/** While the service is down, the whole fleet together tries at most so often. */
const fleetTriesPerSecond = 100;

/** Follows the configuration and the instance list, and tells the others whether the platform is reached. */
export class PlatformFollower {
    private readonly readers: readonly PlatformReader[];
    private answeredAtMs: number | undefined;
    private failing = false;

    /** @param options - The platform and the instance that takes its values. */
    constructor(private readonly options: PlatformFollowerOptions) {
        const { settings, instance } = options;
        const { configurationKey, instancesKey } = settings;
        this.readers = [
            this.readerOf(configurationKey, value => void instance.offerConfiguration(configurationKey, value.text)),
            this.readerOf(instancesKey, value => instance.takeInstanceList(instancesKey, value.text)),
        ];
    }

    /** Milliseconds since the platform last answered; negative if it never did. */
    get ageMs(): number {
        return this.answeredAtMs === undefined ? -1 : this.options.clock.nowMs() - this.answeredAtMs;
    }

    /** Begins to follow. */
    start(): void {
        this.readers.forEach(reader => reader.start());
    }

    /** Ends following. */
    stop(): void {
        this.readers.forEach(reader => reader.stop());
    }

    private readerOf(key: string, onValue: (value: PlatformValue) => void): PlatformReader {
        const { platform, clock, random, settings, instance } = this.options;
        const { members } = instance.fleet;
        return new PlatformReader({
            platform,
            clock,
            random,
            key,
            retryMs: () => Math.max(settings.retryMs, members.alive.length * 1000 / fleetTriesPerSecond),
            // An instance that cannot reach the platform goes on trying, so that it notices when it can again.
            isReader: () => instance.fleet.isReader || !members.self.platformReachable,
            onValue,
            onAnswer: () => this.onAnswer(),
            onFailure: error => this.onFailure(key, error),
        });
    }

    private onAnswer(): void {
        this.answeredAtMs = this.options.clock.nowMs();
        if (this.failing) {
            this.failing = false;
            this.options.instance.fleet.members.tell({ platformReachable: true });
            this.options.log.write(events.platformRecovered);
        }
    }

    private onFailure(key: string, error: Error): void {
        if (!this.failing) {
            this.failing = true;
            this.options.instance.fleet.members.tell({ platformReachable: false });
            this.options.instance.fleet.wakeLinks();
            this.options.log.write(events.platformFailed, { key, error });
        }
    }
}
