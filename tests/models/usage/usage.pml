/*
 * Reports of usage by window. Two gateways may believe at once that they hold the duty, and each gathers numbers of
 * its own. A holder fixes a window's numbers in the store by a write conditional on the revision that it read, then
 * sends what stands there, as often as it likes. A write may succeed without an answer, or be carried out later if
 * its condition still holds; a holder may lose the duty or its memory at any moment.
 * Checked when a report arrives: no window is reported with two different numbers.
 *
 * Seeded faults, each of which must be caught:
 *   SEND_FIRST     numbers are sent before the store has answered that they are fixed
 *   UNCONDITIONAL  the write has no revision
 *   TRUST_LOST     a holder whose write got no answer takes its numbers for fixed
 */
#define WINDOWS 2
#define LAST_REVISION 4
#define NONE 0

byte revision = 1;
byte fixed[WINDOWS];    /* in the store; NONE: not fixed yet */
byte reported[WINDOWS]; /* the first numbers that arrived; NONE: none yet */

chan late_writes = [2] of { byte, byte, byte }; /* condition, window, numbers */

#ifdef UNCONDITIONAL
#define APPLIES(condition) true
#else
#define APPLIES(condition) (condition == revision)
#endif

inline report(window, numbers) {
    atomic {
        assert(reported[window] == NONE || reported[window] == numbers);
        reported[window] = numbers
    }
}

inline write(condition, window, numbers) {
    if
    :: APPLIES(condition) && revision < LAST_REVISION -> fixed[window] = numbers; revision++
    :: else
    fi
}

proctype holder(byte number) {
    bool read;
    byte known;        /* the revision that was read */
    byte log[WINDOWS]; /* what is fixed, as far as known here */
    byte window, numbers;
end:
    do
    :: atomic { !read ->
        known = revision;
        log[0] = fixed[0];
        log[1] = fixed[1];
        read = true }

    /* Closes the first window that is not fixed, as far as it knows. */
    :: atomic { read && (log[0] == NONE || log[1] == NONE) ->
        window = (log[0] == NONE -> 0 : 1);
        if
        :: numbers = 2 * number + 1
        :: numbers = 2 * number + 2
        fi }
#ifdef SEND_FIRST
       report(window, numbers);
#endif
       if
       :: atomic { APPLIES(known) ->
           write(known, window, numbers);
           log[window] = numbers;
           known = revision }
       :: atomic { !APPLIES(known) -> read = false }
       :: atomic { nfull(late_writes) ->
           late_writes!known, window, numbers;
#ifdef TRUST_LOST
           log[window] = numbers
#else
           read = false
#endif
          }
       fi;
       atomic { window = 0; numbers = NONE }

    /* Sends what is fixed, for the first time or again. */
    :: read && log[0] != NONE -> report(0, log[0])
    :: read && log[1] != NONE -> report(1, log[1])

    /* Loses the duty, or is killed and starts again. */
    :: atomic { read -> read = false; known = 0; log[0] = NONE; log[1] = NONE }
    od
}

proctype store() {
    byte condition, window, numbers;
end:
    do
    :: atomic { late_writes?condition, window, numbers ->
        write(condition, window, numbers);
        condition = 0; window = 0; numbers = NONE }
    od
}

init {
    atomic {
        run holder(0);
        run holder(1);
        run store()
    }
}
