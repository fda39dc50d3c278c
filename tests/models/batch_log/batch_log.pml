/*
 * The results of a batch: an append-only log in a store that creates an object only if it is absent, and two
 * owners that both run the batch.
 *
 * A segment stands under the position of its first result. A write is done and answered, done without an answer,
 * or done later, after other writes, if its name is still free. An owner may crash and forget all; it then reads
 * the log from its start. Checked whenever a segment is created: it begins where the log ends, and none of its
 * items stands in the log already, and each of them has been scored. So a position holds one result for ever, no
 * item has two, and none is listed without a score. Owners may get different scores for one item; the log keeps one.
 *
 * Seeded faults, each of which must be caught:
 *   OVERWRITE     a write replaces what stands under its name
 *   RELIST        an owner lists what it has finished, also where another's segment listed it first
 *   SKIP_UNREAD   an owner that finds its position taken goes on behind it without reading what stands there
 *   TRUST_LOST    an owner takes a write without an answer for done
 *   LIST_UNSCORED an owner lists a text before its score is there
 */
#define ITEMS 3
#define ALL 7
#define OWNERS 2
#ifndef FAULTS
#define FAULTS 3
#endif

#define COUNT(mask) ((mask & 1) + ((mask >> 1) & 1) + ((mask >> 2) & 1))

byte segment[ITEMS];      /* the items of the segment under each position; 0: none stands there */
byte listed;              /* all items that stand in the log */
byte length;              /* results in the log */
byte scored;              /* items for which any owner has had a score */
byte faults = FAULTS;
chan late = [2] of { byte, byte };

inline create(position, items) {
#ifdef OVERWRITE
    if
    :: segment[position] != 0 ->
        listed = listed & ~segment[position];
        length = length - COUNT(segment[position]);
        segment[position] = 0
    :: else
    fi;
#endif
    if
    :: segment[position] == 0 ->
        assert(position == length);
        assert((listed & items) == 0);
        assert((items & ~scored) == 0);
        segment[position] = items;
        listed = listed | items;
        length = length + COUNT(items)
    :: else
    fi
}

inline take(position) {
    known = known | segment[position];
#ifndef RELIST
    finished = finished & ~segment[position];
    text = text & ~segment[position];
#endif
    next = next + COUNT(segment[position])
}

proctype owner() {
    byte known, text, finished, next, items, place;
end:
    do
    /* An item's text is made, unless this owner has it or knows it listed. */
    :: d_step { !((known | text | finished) & 1) -> text = text | 1 }
    :: d_step { !((known | text | finished) & 2) -> text = text | 2 }
    :: d_step { !((known | text | finished) & 4) -> text = text | 4 }

    /* The texts that are there are scored. */
    :: d_step { text != 0 -> finished = finished | text; scored = scored | text; text = 0 }

#ifdef LIST_UNSCORED
    :: atomic { (finished | text) != 0 && next < ITEMS ->
        items = finished | text;
#else
    :: atomic { finished != 0 && next < ITEMS ->
        items = finished;
#endif
        if
        /* Answered: created, or the name is taken and the answer holds what stands there. */
        :: create(next, items);
#ifdef SKIP_UNREAD
           if
           :: segment[next] == items -> take(next)
           :: else -> next = next + COUNT(segment[next])
           fi
#else
           take(next)
#endif
        /* Done, and nobody is told. */
        :: faults > 0 -> faults--; create(next, items);
#ifdef TRUST_LOST
           known = known | items; finished = finished & ~items; next = next + COUNT(items)
#endif
        /* Done later, if at all; nobody is told. */
        :: faults > 0 && nfull(late) -> faults--; late!next, items;
#ifdef TRUST_LOST
           known = known | items; finished = finished & ~items; next = next + COUNT(items)
#endif
        fi;
        items = 0 }

    :: atomic { faults > 0 -> faults--;
        known = 0; text = 0; finished = 0; next = 0; place = 0;
        do
        :: place < ITEMS && segment[place] != 0 -> take(place); place = next
        :: else -> break
        od;
        place = 0 }
    od
}

proctype late_writes() {
    byte position, items;
end:
    do
    :: atomic { late?position, items -> create(position, items); position = 0; items = 0 }
    od
}

init {
    atomic {
        run owner();
        run owner();
        run late_writes()
    }
}
