// A file of events for the test bench, one JSON object a line. Off on the users' hosts.
#include "telemetry/journal.h"

#include "core/time.h"

#include <fstream>
#include <google/protobuf/util/json_util.h>
#include <mutex>

namespace parsleyloft {

namespace json = google::protobuf::util;

struct journal::internals
{
    std::string writer;
    std::mutex lock;
    // Guarded by lock.
    std::ofstream file;
};

auto openJournal(const std::string &path, const std::string &writer) -> result<journal>
{
    if (path.empty())
        return journal{};
    auto impl = std::make_shared<journal::internals>();
    impl->writer = writer;
    impl->file.open(path, std::ios::app);
    if (!impl->file)
        return failure(error_code::InvalidInput, path + ": can't be written");
    return journal{std::move(impl)};
}

auto recordEvent(const journal &to, wire::JournalEvent event) -> void
{
    if (!to.impl)
        return;
    if (event.at_us() == 0) {
        const auto now = std::chrono::steady_clock::now().time_since_epoch();
        event.set_at_us(std::chrono::duration_cast<duration>(now).count());
    }
    event.set_writer(to.impl->writer);
    std::string line;
    json::JsonPrintOptions options;
    options.preserve_proto_field_names = true;
    if (!json::MessageToJsonString(event, &line, options).ok())
        return;
    line += '\n';
    const std::lock_guard guard(to.impl->lock);
    to.impl->file.write(line.data(), static_cast<std::streamsize>(line.size()));
    to.impl->file.flush();
}

auto readJournal(const std::string &path) -> result<std::vector<wire::JournalEvent>>
{
    std::ifstream file(path);
    if (!file)
        return failure(error_code::NotFound, path + ": can't be read");
    std::vector<wire::JournalEvent> events;
    std::string line;
    while (std::getline(file, line)) {
        wire::JournalEvent event;
        const auto read = json::JsonStringToMessage(line, &event).ok();
        if (!read && file.eof())
            break;
        if (!read)
            return failure(error_code::InvalidInput, path + ": a line is no event: " + line);
        events.push_back(std::move(event));
    }
    return events;
}

} // namespace parsleyloft
