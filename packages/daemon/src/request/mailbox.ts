/**
 * A mailbox for one task.
 *
 * @packageDocumentation
 */

/** Keeps messages in their order until the one task that reads them takes them. */
export class Mailbox<Message> {
    private readonly waiting: Message[] = [];
    private wake: (() => void) | undefined;

    /** Puts a message in; never waits. */
    post(message: Message): void {
        this.waiting.push(message);
        this.wake?.();
    }

    /** Takes the oldest message, waiting for one if there is none. */
    async take(): Promise<Message> {
        for (;;) {
            const message = this.waiting.shift();
            if (message !== undefined) {
                return message;
            }
            await new Promise<void>(resolve => {
                this.wake = resolve;
            });
        }
    }
}
