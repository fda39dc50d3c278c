/* A lease over the Object API: a holder that may be paused at any point, a successor, and a target.
 *
 * Time is a counter that every process reads when it runs. The holder renews or not, looks at its clock, may be
 * paused, and sends an order that may take up to LONGEST_ORDER to arrive (any time at all where the target checks
 * fencing numbers). The successor lists the leases, and takes over once the holder's version stood unchanged for
 * LENGTH + LONGEST_ORDER; its number is that of its own update after that list.
 *
 * Checked: the target never carries out an order of the holder after one of the successor.
 * Seeded faults: NO_RECHECK (the holder does not look at its clock again after a wait), OLD_NUMBER (the successor
 * uses the number that it had before it took over), NO_ORDER_MARGIN (the successor waits for the lease alone).
 */
#define LENGTH 2
#define LONGEST_ORDER 2
#define LAST_TICK 9
#define LAST_REVISION 6

byte now = 0;
byte revision = 1;          /* the store's */
byte holder_version = 1;    /* of the holder's lease object */
byte holder_number = 1;     /* the number that the holder puts on its orders */
byte holder_until = LENGTH; /* by its own clock, from the moment the update was sent */
bool looked = false;        /* the holder has looked at its clock and is about to send */
byte order_number = 0;      /* the order under way; 0: none */
byte order_due = 0;         /* it arrives at the latest then, for a target that ignores numbers */
bool successor_acted = false;
byte highest_number = 0;    /* the highest that the target has seen */

active proctype clock_ticks()
{
    do
    :: atomic {
        now < LAST_TICK &&
#ifndef FENCING
        !(order_number > 0 && now >= order_due) && /* an order arrives within its time */
#ifndef NO_RECHECK
        !looked &&
#endif
#endif
        true -> now++ }
    :: now >= LAST_TICK -> break
    od
}

active proctype holder()
{
    byte sent;
    byte looked_at;
    byte looked_number;
    do
    :: now >= LAST_TICK || now >= holder_until -> break
    :: /* renew: sent now, applied and read whenever the scheduler lets it */
        atomic { revision < LAST_REVISION -> sent = now };
        atomic { revision < LAST_REVISION -> revision++; holder_version = revision }
        atomic {
            if
            :: now < sent + LENGTH && now < holder_until -> /* went on without a gap */
                holder_number = holder_version; holder_until = sent + LENGTH
            :: else -> holder_until = 0; break /* a new acquisition waits and is a successor's case */
            fi
        }
    :: /* an order: look at the clock, then send */
#ifdef NO_RECHECK
        if :: !looked && now < holder_until -> looked = true :: looked -> skip :: else -> break fi;
        atomic { order_number == 0 -> order_number = holder_number; order_due = now + LONGEST_ORDER }
#else
        atomic {
            order_number == 0 && now < holder_until ->
            looked_at = now; looked_number = holder_number; looked = true
        };
        /* the pause may fall here: a target that ignores numbers is safe only for orders that arrive within
           LONGEST_ORDER of the look, so there the clock waits for the order */
        atomic { order_number = looked_number; order_due = looked_at + LONGEST_ORDER; looked = false }
#endif
    od
}

active proctype target_of_holder()
{
end:
    do
    :: atomic {
        order_number > 0 ->
#ifdef FENCING
        if
        :: order_number >= highest_number -> assert(!successor_acted); highest_number = order_number
        :: else -> skip /* refused */
        fi;
#else
        assert(!successor_acted);
#endif
        order_number = 0 }
    od
}

active proctype successor()
{
    byte seen;
    byte seen_at;
    byte number;
    atomic { revision < LAST_REVISION -> revision++; number = revision } /* its lease, long before it takes over */
    atomic { seen = holder_version; seen_at = now }
    do
    :: now >= LAST_TICK -> break
    :: atomic { holder_version != seen -> seen = holder_version; seen_at = now }
    :: atomic {
#ifdef NO_ORDER_MARGIN
        holder_version == seen && now > seen_at + LENGTH
#else
        holder_version == seen && now > seen_at + LENGTH + LONGEST_ORDER
#endif
        -> skip };
        /* listed and found lapsed; now its own update, then it acts */
        atomic { revision < LAST_REVISION -> revision++;
#ifndef OLD_NUMBER
            number = revision
#endif
        };
        atomic {
#ifdef FENCING
            if
            :: number >= highest_number -> highest_number = number; successor_acted = true
            :: else -> skip
            fi
#else
            successor_acted = true
#endif
        };
        break
    od
}
