// A file of events for the test bench, one JSON object a line. Off on the users' hosts.
#pragma once

#include "core/error.h"
#include "generated/journal.pb.h"

#include <memory>
#include <vector>

namespace parsleyloft {

struct journal
{
    struct internals;
    // Empty while the journal is off.
    std::shared_ptr<internals> impl;
};

// Opens the file for appending. An empty path gives a journal that is off.
auto openJournal(const std::string &path, const std::string &writer) -> result<journal>;

// Stamps the event with the time and the writer, and appends it at once.
auto recordEvent(const journal &to, wire::JournalEvent event) -> void;

// Reads a whole journal. A last line that was cut off by a kill is left out.
auto readJournal(const std::string &path) -> result<std::vector<wire::JournalEvent>>;

} // namespace parsleyloft
