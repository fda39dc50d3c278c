/*
 * Pull and acknowledge: one trainer, two owners that both believe the job is theirs.
 *
 * An owner may crash and forget all, a reply may be lost, a pull may be given up while its answer is still
 * under way, and the same cursor is then presented again, to either owner. The trainer's cursor is the only
 * ledger: (step, slots taken). Checked: no slot is taken twice, none is missing when its step ends, and the
 * trainer gets through all steps with no more pulls than slots and faults explain.
 *
 * Seeded faults, each of which must be caught:
 *   LEDGER_AT_OWNER  an owner counts a slot as delivered once it has sent it
 *   CURSOR_IGNORED   an owner sends what it has, whatever the cursor names as taken
 *   LATE_REPLY_TAKEN the trainer takes the answer to a pull that it has given up
 *   STEP_REMEMBERED  an owner goes by the step that it remembers and not by the cursor's
 */
#ifndef FAULTS
#define FAULTS 2
#endif
#define SLOTS 2
#define STEPS 2
#define FULL 3
#define OWNERS 2
#define MOST_PULLS (SLOTS * STEPS + 2 * FAULTS)

chan ask[OWNERS] = [2] of { byte, byte, byte };     /* pull, step, taken */
chan answer = [3] of { byte, byte, byte, byte };    /* pull, step, samples, taken with them */

byte taken_times[STEPS * SLOTS];
byte faults = FAULTS;

inline count(step, samples) {
    if
    :: samples & 1 -> taken_times[step * SLOTS]++; assert(taken_times[step * SLOTS] == 1)
    :: else
    fi;
    if
    :: samples & 2 -> taken_times[step * SLOTS + 1]++; assert(taken_times[step * SLOTS + 1] == 1)
    :: else
    fi
}

proctype owner(byte me) {
    byte step, ready, sent, pull, asked_step, taken, give;
    bool asked;
end:
    do
    /* Generation: any slot that is neither ready nor acknowledged. */
    :: !((ready | taken) & 1) -> ready = ready | 1
    :: !((ready | taken) & 2) -> ready = ready | 2

    :: !asked && nempty(ask[me]) ->
        atomic {
            ask[me]?pull, asked_step, taken;
            if
            :: taken == FULL -> asked_step++; taken = 0
            :: else
            fi;
#ifdef STEP_REMEMBERED
            asked = true
#else
            if
            :: asked_step > step -> step = asked_step; ready = 0; sent = 0
            :: else
            fi;
            asked = (step == asked_step)    /* otherwise an old cursor, refused */
#endif
        }

    :: asked && (ready & ~taken) ->
        atomic {
#ifdef LEDGER_AT_OWNER
            give = ready & ~sent;
#else
#ifdef CURSOR_IGNORED
            give = ready;
#else
            give = ready & ~taken;
#endif
#endif
            sent = sent | give;
            if
            :: give == FULL -> if :: give = 1 :: give = 2 :: skip fi
            :: else
            fi;
            if
            :: give -> answer!pull, step, give, (taken | give)
            :: give && faults > 0 -> faults--   /* the reply is lost */
            :: !give
            fi;
            asked = false; give = 0; pull = 0; asked_step = 0
        }

    :: atomic { faults > 0 -> faults--; step = 0; ready = 0; sent = 0; taken = 0; asked = false; pull = 0; asked_step = 0 }
    od
}

proctype trainer() {
    byte step, taken, pull, got, got_step, got_samples, got_taken;
    do
    :: step == STEPS -> break
    :: else ->
        pull++;
        assert(pull <= MOST_PULLS);
        if
        :: ask[0]!pull, step, taken
        :: ask[1]!pull, step, taken
        fi;
wait:
        if
        :: answer?got, got_step, got_samples, got_taken ->
            atomic {
#ifndef LATE_REPLY_TAKEN
                if
                :: got != pull -> goto wait
                :: else
                fi;
#endif
                count(got_step, got_samples);
                taken = got_taken;
                step = got_step;
                got = 0; got_step = 0; got_samples = 0; got_taken = 0;
                if
                :: taken == FULL ->
                    assert(taken_times[step * SLOTS] == 1 && taken_times[step * SLOTS + 1] == 1);
                    step++;
                    taken = 0
                :: else
                fi
            }
        :: timeout                                /* nothing else will come */
        :: atomic { faults > 0 -> faults-- }        /* given up too early */
        fi
    od
}

init {
    atomic { run owner(0); run owner(1); run trainer() }
}
