//! The table of explanations.

use super::Entry;

/// All entries, each code once.
pub const TABLE: &[Entry] = &[
    // What callers are told.
    Entry {
        code: "complete",
        meaning: "The caller got the whole answer of a backend server.",
        advice: "Nothing.",
    },
    Entry {
        code: "not-run",
        meaning: "No attempt of the call has started, and none will.",
        advice: "The caller may send the call again, after the time in Retry-After.",
    },
    Entry {
        code: "unknown",
        meaning: "The call may have run: an attempt started, and its answer did not come whole.",
        advice: "An idempotent call may be sent again. For any other, look in the service \
                  whether it ran before acting; sending it again with the same Idempotency-Key \
                  never runs it twice.",
    },
    Entry {
        code: "400",
        meaning: "The call has not run: one of its headers cannot be used, or its route is not \
                  idempotent and it came without an Idempotency-Key.",
        advice: "The caller sends a key that is unique to the call, and the same key when it \
                  sends the call again.",
    },
    Entry {
        code: "404",
        meaning: "The call has not run: no service answers its Host, or no route of the service \
                  takes it.",
        advice: "Compare the call with the hosts and routes that `chivewheel bundle show \
                  --toml` prints.",
    },
    Entry {
        code: "413",
        meaning: "The call has not run: it is larger than the instance takes.",
        advice: "The caller sends less at once.",
    },
    Entry {
        code: "422",
        meaning: "The call has not run: its Idempotency-Key was used for another request before.",
        advice: "The caller takes a new key for each new call.",
    },
    Entry {
        code: "502",
        meaning: "The outcome is unknown: the connection to the backend server broke, or its \
                  answer was not whole.",
        advice: "As for unknown.",
    },
    Entry {
        code: "503",
        meaning: "The call was refused. Chivewheel-Outcome says not-run, or unknown where it \
                  cannot be told whether an earlier attempt with the same Idempotency-Key ran.",
        advice: "The caller sends the call again after Retry-After, with the same key. If it \
                  lasts, run `chivewheel status` and look for pools with waiting calls or \
                  without servers.",
    },
    Entry {
        code: "504",
        meaning: "The outcome is unknown: the route's time limit passed while an attempt was \
                  under way.",
        advice: "As for unknown. If it lasts, compare the route's time-limit-ms with the \
                  latency of its backend servers.",
    },
    // How far a move is.
    Entry {
        code: "planned",
        meaning: "The move has not started.",
        advice: "Nothing; it starts by itself.",
    },
    Entry {
        code: "trying",
        meaning: "A small share of the traffic tries the new version.",
        advice: "Nothing; watch `chivewheel moves`.",
    },
    Entry {
        code: "moving",
        meaning: "The new version has stood its trial, and its share grows.",
        advice: "Nothing; watch `chivewheel moves`.",
    },
    Entry {
        code: "done",
        meaning: "The new version carries all traffic. This is final.",
        advice: "State the new version first in the next bundle, and leave the move out.",
    },
    Entry {
        code: "taken-back",
        meaning: "The old version carries all traffic again. This is final.",
        advice: "Read `chivewheel moves --evidence`. Mend the version, give it a new name, and \
                  state a new move in the next bundle.",
    },
    // What a move's concern is.
    Entry {
        code: "disputed",
        meaning: "Instances report different ends of one move.",
        advice: "Escalate at once: the end of a move is written once. Do not roll a bundle \
                  meanwhile.",
    },
    Entry {
        code: "overdue",
        meaning: "The deadline of a move has passed, and no instance reports its end.",
        advice: "Check `chivewheel status` for instances that do not answer. If it lasts for a \
                  minute, escalate.",
    },
    // Faults of a bundle.
    Entry {
        code: "not-text",
        meaning: "The file of the bundle is not UTF-8.",
        advice: "Save it as UTF-8.",
    },
    Entry {
        code: "syntax",
        meaning: "The file of the bundle is not TOML.",
        advice: "Look at the line that is named, and at the one before it.",
    },
    Entry {
        code: "too-long",
        meaning: "A text is longer than its bound, or the file is.",
        advice: "Shorten it.",
    },
    Entry {
        code: "too-many",
        meaning: "A list has more items than its bound.",
        advice: "Remove items, or split the service.",
    },
    Entry {
        code: "unknown-key",
        meaning: "A table has a key that means nothing.",
        advice: "Check the spelling against the keys that are named.",
    },
    Entry {
        code: "missing-key",
        meaning: "A key that must be there is missing.",
        advice: "Add it; the fault says what its value is.",
    },
    Entry {
        code: "wrong-type",
        meaning: "A value is of another type than its key needs.",
        advice: "Write it as the fault says. Strings need quotes, numbers must not have them.",
    },
    Entry {
        code: "out-of-bounds",
        meaning: "A number is out of its bounds.",
        advice: "Take a number within the bounds that are named.",
    },
    Entry {
        code: "empty",
        meaning: "A list has no items, but needs one.",
        advice: "State at least one.",
    },
    Entry {
        code: "bad-name",
        meaning: "A name has characters that names do not have, or is too long.",
        advice: "Take up to 64 letters, digits, '-', '_' and '.'.",
    },
    Entry {
        code: "bad-host",
        meaning: "A host is none.",
        advice: "Write it in lower case and without a port, as in gauge.example.",
    },
    Entry {
        code: "bad-method",
        meaning: "A method is none.",
        advice: "Write it in capitals, as in GET.",
    },
    Entry {
        code: "bad-path",
        meaning: "A path is none.",
        advice: "Start it with '/', and leave out white space, '?' and '#'.",
    },
    Entry {
        code: "duplicate",
        meaning: "A name stands twice.",
        advice: "Rename one, or remove it.",
    },
    Entry {
        code: "shared-host",
        meaning: "A host leads to two services.",
        advice: "Remove it from one.",
    },
    Entry {
        code: "same-calls",
        meaning: "Two routes of a service take the same calls.",
        advice: "Give them different paths, or methods that do not overlap.",
    },
    Entry {
        code: "no-centre-in-service",
        meaning: "No data centre is in service.",
        advice: "Set in-service = true for at least one.",
    },
    Entry {
        code: "no-such-version",
        meaning: "A move names a version that the service does not list.",
        advice: "List the version under the service, or correct the name.",
    },
    Entry {
        code: "same-version",
        meaning: "A move goes from a version to itself.",
        advice: "Correct one of the two names.",
    },
    // Why a bundle is refused.
    Entry {
        code: "faulty",
        meaning: "The bundle breaks its rules.",
        advice: "Mend every fault that is listed. Each has a code to explain.",
    },
    Entry {
        code: "unsigned",
        meaning: "Nobody has signed the bundle.",
        advice: "Run `chivewheel bundle sign`, and have a second operator do the same.",
    },
    Entry {
        code: "half-signed",
        meaning: "Only one operator has signed the bundle.",
        advice: "Have a second operator run `chivewheel bundle sign`.",
    },
    Entry {
        code: "same-key",
        meaning: "Both signatures are by one key.",
        advice: "Have a second operator sign, with a key of their own.",
    },
    Entry {
        code: "unknown-signer",
        meaning: "A signature is by a key that is not one of CHIVEWHEEL_SIGNERS.",
        advice: "Check CHIVEWHEEL_SIGNERS against the instances' settings. If the key is new, \
                  every instance needs it first.",
    },
    Entry {
        code: "bad-signature",
        meaning: "A signature does not fit the bundle.",
        advice: "Remove the file of signatures, and have both operators sign again.",
    },
    Entry {
        code: "signed-already",
        meaning: "The bundle has both signatures.",
        advice: "Submit it. To sign anew, remove the file of signatures first.",
    },
    Entry {
        code: "other-bundle",
        meaning: "The bundle was changed after it was signed.",
        advice: "Undo the change, or remove the file of signatures and have both operators sign \
                  again.",
    },
    Entry {
        code: "signed-file",
        meaning: "The file of signatures is malformed.",
        advice: "Take it anew from who signed last, or remove it and sign again.",
    },
    Entry {
        code: "replayed",
        meaning: "The bundle is in force already.",
        advice: "Nothing.",
    },
    Entry {
        code: "rival",
        meaning: "Another bundle of the same version is in force.",
        advice: "Run `chivewheel bundle show` to see it. Take its changes in, raise the version \
                  and have both operators sign again.",
    },
    Entry {
        code: "older",
        meaning: "A newer bundle is in force.",
        advice: "Run `chivewheel bundle show --toml`, make your change there, and raise the \
                  version by one.",
    },
    Entry {
        code: "skipped",
        meaning: "The version is not one above that in force.",
        advice: "Set the version that is named, and have both operators sign again.",
    },
    Entry {
        code: "other-parent",
        meaning: "The bundle was made to replace another one than that in force.",
        advice: "Compare it with `chivewheel bundle show --toml`, then remove the file of \
                  signatures and have both operators sign again.",
    },
    Entry {
        code: "conflict",
        meaning: "Another bundle was accepted between reading and writing.",
        advice: "Run `chivewheel bundle show` to see the one that is named. Take its changes \
                  in, raise the version and have both operators sign again.",
    },
    Entry {
        code: "head-removed",
        meaning: "The bundle was removed from the store between reading and writing.",
        advice: "Escalate at once: nothing removes it in normal work. The instances keep theirs \
                  in force.",
    },
    Entry {
        code: "dangerous",
        meaning: "The bundle could do harm.",
        advice: "Change it. Some dangers can be accepted with --accept-risk; each has a code to \
                  explain.",
    },
    Entry {
        code: "declined",
        meaning: "The change was not confirmed.",
        advice: "Run the command again and type yes, or give --yes.",
    },
    // Dangers of a bundle.
    Entry {
        code: "all-centres-out",
        meaning: "No data centre would be in service.",
        advice: "Keep at least one in service. This cannot be accepted.",
    },
    Entry {
        code: "centres-out",
        meaning: "More than one data centre would be taken out at once.",
        advice: "Take them out one by one and watch `chivewheel status` in between, or give \
                  --accept-risk.",
    },
    Entry {
        code: "first-share-too-large",
        meaning: "A move would start with too large a share.",
        advice: "Take a first-share of 0.05 or less.",
    },
    Entry {
        code: "deadline-passed",
        meaning: "The deadline of a move has passed.",
        advice: "State a deadline that lies ahead, or leave out a move that has ended. This \
                  cannot be accepted.",
    },
    Entry {
        code: "may-repeat",
        meaning: "Calls that ran at most once could run more often: their route would be \
                  idempotent.",
        advice: "Keep idempotent = false. If running twice does no harm to anyone, give \
                  --accept-risk.",
    },
    Entry {
        code: "untried",
        meaning: "A version that no move has tried would get all traffic at once.",
        advice: "State a move to it. If it has carried all traffic before and must again, give \
                  --accept-risk.",
    },
    Entry {
        code: "service-removed",
        meaning: "A service would be removed, and its calls refused.",
        advice: "Make sure that nobody calls it any more, then give --accept-risk.",
    },
    // What `chivewheel status` finds.
    Entry {
        code: "fork",
        meaning: "Instances have different bundles of one version.",
        advice: "Escalate at once, and do not roll a bundle meanwhile.",
    },
    Entry {
        code: "two-owners",
        meaning: "Two instances say that they own one pool in one epoch.",
        advice: "Run `chivewheel status` again: reports are not of the same moment. If it \
                  lasts, escalate at once.",
    },
    Entry {
        code: "no-server",
        meaning: "A pool has no backend server that may get work.",
        advice: "If its owner or the bundle has just changed, wait for the longest time-limit-ms \
                  of its routes and ten seconds. Then look at the states of its servers, and at \
                  the platform's list.",
    },
    Entry {
        code: "no-server-known",
        meaning: "The owner of a pool knows no backend server of it, and no call waits.",
        advice: "Nothing, if no call of the service has come to that data centre yet. Otherwise \
                  look whether the platform lists backend servers of the service there.",
    },
    Entry {
        code: "no-owner",
        meaning: "No instance grants the credits of a pool.",
        advice: "Wait for ten seconds. If it lasts, look for instances that do not answer.",
    },
    Entry {
        code: "silent",
        meaning: "An instance does not answer on its operators' port.",
        advice: "Check the address. The platform replaces an instance that has ended.",
    },
    Entry {
        code: "no-bundle",
        meaning: "There is no bundle yet, or an instance has none.",
        advice: "Submit the first one. If others have it, check that instance's signers and its \
                  way to the store.",
    },
    Entry {
        code: "behind",
        meaning: "An instance has an older bundle than others.",
        advice: "Wait for ten seconds. If it lasts, check that instance's signers and its way \
                  to the store.",
    },
    Entry {
        code: "store-unreachable",
        meaning: "An instance cannot reach the platform's store.",
        advice: "Traffic goes on. Check the platform; roll no bundle until it answers.",
    },
    Entry {
        code: "member-silent",
        meaning: "Instances have not heard a member for a lease.",
        advice: "If several say so, it has ended or is cut off: it is removed by itself. If one \
                  says so, check the network between the two.",
    },
    Entry {
        code: "waiting",
        meaning: "Calls wait for a credit of a pool.",
        advice: "Short waits are normal. If they last, the service needs more backend servers.",
    },
    // States of backend servers.
    Entry {
        code: "warm",
        meaning: "The backend server takes as much work as its allowance says.",
        advice: "Nothing.",
    },
    Entry {
        code: "cold",
        meaning: "The backend server is new or was restarted. It gets little work and earns more \
                  by its answers.",
        advice: "Nothing; it warms up by itself.",
    },
    Entry {
        code: "ejected",
        meaning: "The backend server failed or was slow, and gets no work for a while. Then it \
                  starts cold.",
        advice: "If it lasts or comes back, look at the backend server itself.",
    },
    Entry {
        code: "leaving",
        meaning: "The backend server is to end: it finishes what it has and gets no new work.",
        advice: "Nothing.",
    },
    // Errors of this tool.
    Entry {
        code: "file",
        meaning: "A file could not be read or written.",
        advice: "Check its name, and whether you may read or write it. A secret key is never \
                  written over another file.",
    },
    Entry {
        code: "terminal",
        meaning: "The terminal could not be read or written.",
        advice: "Run the command again. After `bundle submit`, run `chivewheel bundle show` \
                  first.",
    },
    Entry {
        code: "json",
        meaning: "A value could not be written as JSON.",
        advice: "Run the command without --json, and report the fault.",
    },
    Entry {
        code: "text",
        meaning: "The bundle cannot be written as TOML.",
        advice: "Report the fault.",
    },
    Entry {
        code: "no-key",
        meaning: "No secret key was given to sign with.",
        advice: "Give --key-file or CHIVEWHEEL_SIGNING_KEY_FILE, or the key itself in \
                  CHIVEWHEEL_SIGNING_KEY.",
    },
    Entry {
        code: "bad-key",
        meaning: "The secret key is malformed.",
        advice: "Take the file that `chivewheel bundle keygen` made.",
    },
    Entry {
        code: "no-parent",
        meaning: "It is not known which bundle is replaced.",
        advice: "Give --platform, --previous DIGEST, or --first for the first bundle.",
    },
    Entry {
        code: "no-signers",
        meaning: "No public keys were given to verify signatures with.",
        advice: "Give --signer for each operator, or CHIVEWHEEL_SIGNERS, as in ada=KEY,ben=KEY.",
    },
    Entry {
        code: "bad-signers",
        meaning: "The list of operators' public keys is malformed.",
        advice: "Write each as NAME=KEY, with the key that `chivewheel bundle keygen` printed.",
    },
    Entry {
        code: "no-platform",
        meaning: "No address of the platform was given.",
        advice: "Give --platform or CHIVEWHEEL_PLATFORM, as in 10.0.0.1:7000.",
    },
    Entry {
        code: "no-instance",
        meaning: "No address of an instance was given.",
        advice: "Give --instance or CHIVEWHEEL_INSTANCES, as in 10.0.1.1:7900,10.0.1.2:7900.",
    },
    Entry {
        code: "platform-unavailable",
        meaning: "The platform takes no calls now. Nothing has changed.",
        advice: "Check the address and the platform, then run the command again.",
    },
    Entry {
        code: "platform-silent",
        meaning: "The platform did not answer in time.",
        advice: "Check the address and the platform, then run the command again: parts that \
                  were stored are found again.",
    },
    Entry {
        code: "platform-malformed",
        meaning: "The platform's answer could not be understood.",
        advice: "Check that the address is the platform's.",
    },
    Entry {
        code: "too-large",
        meaning: "A value is larger than the platform takes.",
        advice: "Make the bundle smaller.",
    },
    Entry {
        code: "unknown-outcome",
        meaning: "The answer to the last write was lost, and could not be read back: the bundle \
                  may be in force.",
        advice: "Run `chivewheel bundle show` once the platform answers. Submitting the same \
                  bundle again is safe.",
    },
    Entry {
        code: "damaged",
        meaning: "What the store has is not what was written there.",
        advice: "Escalate at once. The instances keep the bundle that they have.",
    },
    Entry {
        code: "all-unreachable",
        meaning: "No instance answered.",
        advice: "Check the addresses, and the network between here and there.",
    },
    Entry {
        code: "not-explained",
        meaning: "There is no such code.",
        advice: "Run `chivewheel explain` for a list of all codes.",
    },
];
