/* The claim-pair protocol of src/claims: a home that dispatches, a backup that records, and callers who may ask
 * either at any time, since no failure detector is trusted.
 *
 * A message, once sent, stays in its set: it may be received never (loss), late, out of order, or several times.
 * A pause is any delay between two steps of a process. Expiry is each side's own: the clocks need not agree.
 * Checked: a key is dispatched at most once; "not run" is told neither before nor after a run of that request;
 * an answer goes to the request that ran. The seeded faults must each be caught (see CMakeLists.txt):
 * DISPATCH_BEFORE_RECORD, ACK_AFTER_CLOSE, CROSSED_ACK, RESTART_TRUSTED, EXPIRED_AS_UNSEEN, NO_FINGERPRINT.
 */
#ifndef KEYS
#define KEYS 1
#endif
#ifndef REQUESTS
#define REQUESTS 2          /* more than one may use the same key, by mistake */
#endif
#define NOBODY 2
#define LAST_KEY (KEYS - 1)

/* Scratch of one atomic step: no part of the state. */
hidden byte k, r, other;

mtype = { unseen, recording, granted, running, ran, refused_key };

/* The home's memory, lost in a crash. */
mtype phase[KEYS] = unseen;
byte home_request[KEYS] = NOBODY;
bool home_past[KEYS];       /* the key has expired by the home's clock */
bool home_closed, frozen;
bool home_up = true, home_original = true;

/* The backup's memory, lost in a crash. */
bool seen[KEYS], settled[KEYS];
byte backup_request[KEYS] = NOBODY;
bool backup_past[KEYS];
bool closed;
bool backup_up = true, backup_original = true;

/* Messages sent so far; a record and its reply name the key and the request. */
bool record_sent[KEYS], ack_sent[KEYS], refusal_sent[KEYS], settled_sent[KEYS], handover_sent;
byte record_request[KEYS] = NOBODY;

/* What really happened, for the assertions only. */
byte runs[KEYS];
byte run_request[KEYS] = NOBODY;
bool told_not_run[KEYS * REQUESTS];

#define at_rest(key) (phase[key] == unseen || phase[key] == ran || phase[key] == refused_key)

inline tell_not_run(k, r) {
    assert(!(runs[k] > 0 && run_request[k] == r));
    told_not_run[k * REQUESTS + r] = true
}

inline tell_answer(k, r) {
    assert(runs[k] == 1 && run_request[k] == r)
}

inline dispatch(k) {
    assert(runs[k] == 0);
    assert(!told_not_run[k * REQUESTS + home_request[k]]);
    runs[k]++;
    run_request[k] = home_request[k];
    phase[k] = running
}

inline refuse_key(k) {
    phase[k] = refused_key;
    tell_not_run(k, home_request[k])
}

/* A call arrives at the home. Another request under a known key is refused as "not run". */
inline call_home(k, r) {
    if
    :: !home_original ->
#ifdef RESTART_TRUSTED
        tell_not_run(k, r)
#else
        /* A later run knows nothing: it has the backup close the pair, or answers in doubt. */
        if
        :: backup_up -> call_backup(k, r)
        :: true -> skip
        fi
#endif
    :: else ->
        if
#ifdef NO_FINGERPRINT
        :: phase[k] == ran -> tell_answer(k, r)
#else
        :: phase[k] != unseen && home_request[k] != r -> tell_not_run(k, r)
        :: phase[k] == ran && home_request[k] == r -> tell_answer(k, r)
#endif
        :: phase[k] == refused_key && home_request[k] == r -> tell_not_run(k, r)
        :: phase[k] == unseen && home_past[k] -> skip       /* in doubt */
        :: phase[k] == unseen && !home_past[k] && (frozen || home_closed) ->
            home_request[k] = r;
            refuse_key(k)
        :: phase[k] == unseen && !home_past[k] && !frozen && !home_closed ->
            home_request[k] = r;
            phase[k] = recording;
            record_sent[k] = true;
            record_request[k] = r
#ifdef DISPATCH_BEFORE_RECORD
            ;
            dispatch(k)
#endif
        :: else -> skip                                     /* joins the run */
        fi
    fi
}

/* A call arrives at the backup, which believes the home unreachable, rightly or not: it takes over. */
inline call_backup(k, r) {
    if
    :: !backup_original -> skip                             /* in doubt */
    :: else ->
        closed = true;
        if
#ifdef EXPIRED_AS_UNSEEN
        :: !seen[k] -> tell_not_run(k, r)
#else
        :: backup_past[k] -> skip                           /* in doubt */
        :: !backup_past[k] && !seen[k] -> tell_not_run(k, r)
#endif
        :: seen[k] && backup_request[k] != r -> tell_not_run(k, r)
        :: seen[k] && backup_request[k] == r && settled[k] ->
            if
            :: runs[k] > 0 -> tell_answer(k, r)
            :: else -> assert(false)
            fi
        :: seen[k] && backup_request[k] == r && !settled[k] -> skip  /* in doubt */
        fi
    fi
}

active proctype callers() {
end:
    do
    :: atomic { home_up -> select(k : 0 .. LAST_KEY); select(r : 0 .. REQUESTS - 1); call_home(k, r) }
    :: atomic { backup_up -> select(k : 0 .. LAST_KEY); select(r : 0 .. REQUESTS - 1); call_backup(k, r) }
    od
}

active proctype home() {
end:
    do
    /* An acknowledgement, perhaps late, doubled, or crossed with another key's. */
    :: atomic {
        home_up && home_original ->
        select(k : 0 .. LAST_KEY);
        select(other : 0 .. LAST_KEY);
        if
#ifdef CROSSED_ACK
        :: ack_sent[other] && phase[k] == recording -> phase[k] = granted
#else
        :: ack_sent[other] && phase[k] == recording && other == k ->
            if
            :: home_past[k] -> refuse_key(k)
            :: else -> phase[k] = granted
            fi
#endif
        :: refusal_sent[k] && phase[k] == recording ->
            home_closed = true;
            refuse_key(k)
        /* Nothing came within the timeout, or the caller has gone. */
        :: phase[k] == recording -> refuse_key(k)
        :: else -> skip
        fi }
    /* Between the grant and the dispatch the process may be paused for any time. */
    :: atomic {
        home_up && home_original ->
        select(k : 0 .. LAST_KEY);
        if
        :: phase[k] == granted -> dispatch(k)
        :: phase[k] == running -> phase[k] = ran; settled_sent[k] = true
        :: else -> skip
        fi }
    /* A planned stop: no unseen key from now on, then the hand-over once nothing is in flight. */
    :: atomic { home_up && home_original && !frozen -> frozen = true }
    :: atomic {
        home_up && home_original && frozen && at_rest(0) && at_rest(LAST_KEY) ->
        handover_sent = true }
    od
}

active proctype backup() {
end:
    do
    :: atomic {
        backup_up && backup_original ->
        select(k : 0 .. LAST_KEY);
        if
        :: record_sent[k] ->
            if
#ifndef ACK_AFTER_CLOSE
            :: closed -> refusal_sent[k] = true
            :: !closed && backup_past[k] -> refusal_sent[k] = true
            :: !closed && !backup_past[k] ->
#else
            :: backup_past[k] -> refusal_sent[k] = true
            :: !backup_past[k] ->
#endif
                if
                :: !seen[k] -> seen[k] = true; backup_request[k] = record_request[k]; ack_sent[k] = true
                :: seen[k] && backup_request[k] == record_request[k] -> ack_sent[k] = true
                :: else -> refusal_sent[k] = true
                fi
            fi
        :: settled_sent[k] && seen[k] -> settled[k] = true
        :: handover_sent ->
            closed = true;
            if
            :: seen[k] && phase[k] == ran && home_original -> settled[k] = true
            :: else -> skip
            fi
        :: else -> skip
        fi }
    /* A later run of the backup records nothing under the pair. */
    :: atomic {
        backup_up && !backup_original ->
        select(k : 0 .. LAST_KEY);
        if
        :: record_sent[k] -> refusal_sent[k] = true
        :: else -> skip
        fi }
    od
}

active proctype faults() {
end:
    do
    :: atomic { home_up && home_original -> home_up = false;
        for (k : 0 .. LAST_KEY) { phase[k] = unseen; home_request[k] = NOBODY }
        home_closed = false; frozen = false }
    :: atomic { !home_up -> home_up = true; home_original = false }
    :: atomic { backup_up && backup_original -> backup_up = false;
        for (k : 0 .. LAST_KEY) { seen[k] = false; settled[k] = false; backup_request[k] = NOBODY }
        closed = false }
    :: atomic { !backup_up -> backup_up = true; backup_original = false }
    /* Expiry, by each side's own clock; settled and recorded keys are then forgotten. */
    :: atomic { select(k : 0 .. LAST_KEY);
        if
        :: !home_past[k] -> home_past[k] = true
        :: home_past[k] && (phase[k] == ran || phase[k] == refused_key) ->
            phase[k] = unseen; home_request[k] = NOBODY
        :: else -> skip
        fi }
    :: atomic { select(k : 0 .. LAST_KEY);
        if
        :: !backup_past[k] -> backup_past[k] = true;
            seen[k] = false; settled[k] = false; backup_request[k] = NOBODY
        :: else -> skip
        fi }
    od
}
