// An event file for the test bench, with one JSON object per line. Disabled on production hosts.
#pragma once

#include "core/error.h"
#include "generated/journal.pb.h"

#include <memory>
#include <vector>

namespace parsleyloft {

struct journal
{
    struct internals;
    // Null if the journal is disabled.
    std::shared_ptr<internals> impl;
};

// Opens the file for appending. With an empty path, returns a disabled journal.
auto openJournal(const std::string &path, const std::string &writer) -> result<journal>;

// Sets the event's time, unless it has one, and its writer, and appends it to the file immediately.
// Does nothing if the journal is disabled.
auto recordEvent(const journal &destination, wire::JournalEvent event) -> void;

// Reads all events of a journal. Ignores an incomplete last line, which a killed process may leave.
auto readJournal(const std::string &path) -> result<std::vector<wire::JournalEvent>>;

} // namespace parsleyloft
