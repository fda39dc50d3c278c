/*
 * Reads of a batch's results through the gateway that runs it, while another gateway may have taken the batch over.
 *
 * Results only grow. A reader of the store sees all that stands. The owner answers "no further result" from memory
 * if the store had none after its last known one less than WINDOW ago; the front that asked drops an answer that
 * takes longer than MARGIN. Checked when an answer arrives: no position that it denies was read by anybody more than
 * SETTLE before. The owner may be suspended at any moment, also between a question and its answer.
 *
 * Seeded faults, each of which must be caught:
 *   NEVER_CONFIRM  the owner denies further results without asking the store
 *   STAMP_AFTER    a confirmation counts from the store's answer, not from the question
 *   STEADY_CLOCK   the owner's clock stops while its machine is suspended
 *   ACCEPT_LATE    the front takes an answer however long it has been under way
 */
#define LAST 14
#define WINDOW 2
#define MARGIN 2
#define SETTLE 4
#define RESULTS 2

byte clock = 1;
byte lost;                  /* of the clock, while the owner was suspended */
byte length;                /* results in the store */
byte seen_at[RESULTS];      /* when a position was first read; 0: never */
chan answers = [1] of { byte, byte };

#ifdef STEADY_CLOCK
#define OWN_CLOCK (clock - lost)
#else
#define OWN_CLOCK clock
#endif

#ifdef NEVER_CONFIRM
#define CONFIRMED true
#else
#define CONFIRMED (confirmed != 0 && OWN_CLOCK - confirmed < WINDOW)
#endif

proctype time_passes() {
end:
    do
    :: atomic { clock < LAST -> clock++ }
    od
}

proctype other_owner() {
end:
    do
    :: atomic { length < RESULTS -> length++ }
    od
}

proctype reader_of_store() {
    byte place;
end:
    do
    :: d_step {
        place = 0;
        do
        :: place < length ->
            if
            :: seen_at[place] == 0 -> seen_at[place] = clock
            :: else
            fi;
            place++
        :: else -> break
        od;
        place = 0 }
    od
}

proctype owner() {
    byte end_known, asked, confirmed, answered_at, found;
end:
    do
    /* Asks the store, which answers some time later. */
    :: asked = OWN_CLOCK;
       found = length;
       answered_at = OWN_CLOCK;
       atomic {
           if
           :: found == end_known ->
#ifdef STAMP_AFTER
               confirmed = answered_at
#else
               confirmed = asked
#endif
           :: else -> end_known = found; confirmed = 0
           fi;
           asked = 0; answered_at = 0; found = 0 }

    /* Publishes a result where the store has none; a success confirms that none was there. */
    :: atomic { length < RESULTS -> asked = OWN_CLOCK };
       atomic {
           if
           :: length == end_known && length < RESULTS ->
               length++; end_known++; confirmed = asked
           :: else -> confirmed = 0
           fi;
           asked = 0 }

    /* Denies further results. */
    :: atomic { CONFIRMED && end_known < RESULTS && nfull(answers) -> answers!end_known, clock }

    /* Its machine is suspended for a moment. */
    :: atomic { clock < LAST -> clock++; lost++ }
    od
}

proctype front() {
    byte denied, sent;
end:
    do
    :: atomic { answers?denied, sent;
        if
#ifdef ACCEPT_LATE
        :: true ->
#else
        :: clock - sent < MARGIN ->
#endif
            assert(seen_at[denied] == 0 || clock - seen_at[denied] < SETTLE)
        :: else
        fi;
        denied = 0; sent = 0 }
    od
}

init {
    atomic {
        run time_passes();
        run other_owner();
        run reader_of_store();
        run owner();
        run front()
    }
}
